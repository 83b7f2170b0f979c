/**
 * The plug-ins of the daemon: importing this module registers them all.
 *
 * @module
 */

export {};
