/**
 * Bundles the program of the users' platform: `node scripts/bundle.js [OUTDIR]`.
 *
 * The entry is one CommonJS file. Node.js runs it earlier than an ES module with
 * its imports, and until it has run, signals end the process. The program is
 * bundled on its own and takes the handler of signals from the entry.
 */
import {readdirSync, rmSync, writeFileSync} from 'node:fs';
import {basename, join} from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

const entryName = 'toucanrouterd.cjs';
const metafileName = 'modules.json';
const signalsModule = '@toucanrouter/common/signals';
const bundledFile = /\.[cm]?js(\.map)?$/;
/** Dependencies that are CommonJS modules require modules of Node.js. */
const requireBanner = [
  'import {createRequire as createBundleRequire} from "node:module";',
  'const require = createBundleRequire(import.meta.url);',
].join(' ');

const outdir = process.argv[2] ?? 'target';

/** Names of functions are kept, so that stack traces can be read. */
const shared = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  conditions: ['source'],
  sourcemap: true,
  minifySyntax: true,
  minifyWhitespace: true,
  metafile: true,
  logLevel: 'warning',
};

const entry = await build({
  ...shared,
  entryPoints: ['platform/src/bin/toucanrouterd.ts'],
  outfile: join(outdir, entryName),
  format: 'cjs',
  external: ['./RunGateway.js'],
});
const program = await build({
  ...shared,
  entryPoints: ['platform/src/bin/RunGateway.ts'],
  outdir,
  format: 'esm',
  splitting: true,
  alias: {[signalsModule]: `./${entryName}`},
  external: [`./${entryName}`],
  banner: {js: requireBanner},
});

// Chunks of earlier builds have other names.
const built = new Set(
  [entry, program].flatMap(({metafile}) =>
    Object.keys(metafile.outputs).map(file => basename(file)),
  ),
);
for (const name of readdirSync(outdir)) {
  if (bundledFile.test(name) && !built.has(name)) rmSync(join(outdir, name));
}
writeFileSync(
  join(outdir, metafileName),
  JSON.stringify({
    entry: entry.metafile.outputs,
    program: program.metafile.outputs,
  }),
);
