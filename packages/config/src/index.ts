/** Settings, configuration and questionnaire, read from JSON with comments. */
export * from './configuration.js';
export * from './settings.js';
