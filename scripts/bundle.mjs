/** Bundles the program of the platform deployment into target/, so that a start reads one file. */
import {build} from 'esbuild';

const packages = ['core', 'wire', 'systems', 'daemon', 'gateway', 'config'];

await build({
  entryPoints: {balsamnotch: 'platform/src/main.ts'},
  outdir: 'target',
  outExtension: {'.js': '.mjs'},
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifySyntax: true,
  minifyWhitespace: true,
  treeShaking: true,
  logLevel: 'warning',
  alias: Object.fromEntries(
    packages.map(name => [
      `@balsamnotch/${name}`,
      `./packages/${name}/src/index.ts`,
    ]),
  ),
  // Optional parts of bunyan, which it does without.
  external: ['dtrace-provider', 'mv', 'source-map-support', 'moment'],
  // Dependencies in CommonJS call require() for modules of Node.
  banner: {
    js: "import {createRequire as createRequireHere} from 'node:module';const require = createRequireHere(import.meta.url);",
  },
});
