/** Bundles the program of the platform deployment into target/, so that a start reads one file. */
import {build} from 'esbuild';

const packages = ['core', 'wire', 'systems', 'daemon', 'gateway', 'config'];

/** Optional parts of bunyan; it does without when they cannot be loaded. */
const absent = {
  name: 'absent',
  setup({onResolve, onLoad}) {
    const filter = /^(dtrace-provider|mv|source-map-support|moment)$/;
    onResolve({filter}, ({path}) => ({path, namespace: 'absent'}));
    onLoad({filter: /.*/, namespace: 'absent'}, ({path}) => ({
      contents: `throw new Error('${path} is not bundled');`,
      loader: 'js',
    }));
  },
};

await build({
  entryPoints: {balsamnotch: 'platform/src/main.ts'},
  outdir: 'target',
  outExtension: {'.js': '.mjs'},
  bundle: true,
  // The commands for operators are a file of their own, which a node never reads.
  splitting: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifySyntax: true,
  minifyWhitespace: true,
  logLevel: 'warning',
  plugins: [absent],
  alias: {
    ...Object.fromEntries(
      packages.map(name => [
        `@balsamnotch/${name}`,
        `./packages/${name}/src/index.ts`,
      ]),
    ),
    // Its entry for Node is CommonJS, of which no unused part can be left out.
    rxjs: './node_modules/rxjs/dist/esm/index.js',
  },
  // Dependencies in CommonJS call require() for modules of Node.
  banner: {
    js: "import {createRequire as createRequireHere} from 'node:module';const require = createRequireHere(import.meta.url);",
  },
});
