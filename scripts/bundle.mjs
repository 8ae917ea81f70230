/**
 * Bundles the program of the platform deployment into target/. A process then loads a single
 * file at start.
 */
import {build} from 'esbuild';

const packages = ['core', 'wire', 'systems', 'daemon', 'gateway', 'config'];

/**
 * Replaces the optional dependencies of bunyan by modules that throw. bunyan works without
 * them.
 */
const omitOptionalDependencies = {
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
  // Puts the operator commands in a separate file, which nodes never load.
  splitting: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifySyntax: true,
  minifyWhitespace: true,
  logLevel: 'warning',
  plugins: [omitOptionalDependencies],
  alias: {
    ...Object.fromEntries(
      packages.map(name => [
        `@balsamnotch/${name}`,
        `./packages/${name}/src/index.ts`,
      ]),
    ),
    // The entry point of rxjs for Node.js is CommonJS, from which unused code cannot be removed.
    rxjs: './node_modules/rxjs/dist/esm/index.js',
  },
  // CommonJS dependencies call require() for built-in modules of Node.js.
  banner: {
    js: "import {createRequire as createRequireHere} from 'node:module';const require = createRequireHere(import.meta.url);",
  },
});
