/** What the program loads when budgets are switched on, or one of their commands is called: a bundle of its own. */
export { register, type FileOptions, type Host } from './commands.js';
export { Budgets } from './feature.js';
export type { Service } from './fetch.js';
export { BudgetSettingsError, parseBudgets } from './settings.js';
