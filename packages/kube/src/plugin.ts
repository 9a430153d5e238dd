/** What the program loads when one of these commands is called: a bundle of its own. */
export { register, type Host } from './commands.js';
