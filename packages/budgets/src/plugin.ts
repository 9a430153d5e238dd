/** Entry point of the bundle that the program loads if budgets are switched on or one of their commands is run. */
export { register, type FileOptions, type CommandHost } from './commands.js';
export { Budgets } from './feature.js';
export type { StoreAccess } from './fetch.js';
export { BudgetSettingsError, parseBudgets } from './settings.js';
