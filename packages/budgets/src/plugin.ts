/** Entry point of the bundle that the program loads if budgets are switched on or one of their commands is run. */
export { register, type FileOptions, type Host } from './commands.js';
export { Budgets } from './feature.js';
export type { Service } from './fetch.js';
export { BudgetSettingsError, parseBudgets } from './settings.js';
