/** The flags of Node.js that a deployed controller runs with, above all its heap limit. */
import { readFileSync } from 'node:fs';

const SERVICE_FILE = new URL('../../../deploy/service.toml', import.meta.url).pathname;

/** Reads the flags from the service's own command line in deploy/service.toml. */
export const deployedNodeFlags = (): string[] => {
  const run = /^run = "node (.*) target\/main\.js/m.exec(readFileSync(SERVICE_FILE, 'utf8'));
  if (run === null) throw new Error(`${SERVICE_FILE}: no command line that runs target/main.js`);
  return run[1]!.split(' ').filter((flag) => flag !== '');
};
