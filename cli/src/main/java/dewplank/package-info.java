/**
 * The command line: commands, exit codes, help, logs and the wiring of both products. This package makes no decisions
 * about requests, servers or configurations.
 *
 * <p>{@link dewplank.Main} only loads the classes that its command needs. The operators' client and the laboratory are
 * used through separate classes, so that they don't slow the start of a program.
 */
package dewplank;
