/**
 * The command line: commands, exit codes, help, logs and the wiring of both products. Nothing here decides anything
 * about requests, servers or configurations.
 *
 * <p>{@link dewplank.Main} loads only what its command needs: the operators' client and the laboratory are reached
 * through classes of their own, so that the start of a program does not pay for them.
 */
package dewplank;
