package dewplank.register;

/**
 * The faults and changes in a simulated fleet.
 *
 * @param wipes whether disks are lost and their acceptors are replaced
 * @param resizes whether acceptor sets are changed at random, also by two processes at once
 * @param wipedDiskKeepsIdentity violates the rule that a new disk is a new acceptor, to test that the checks detect it
 */
record SimulationRules(boolean wipes, boolean resizes, boolean wipedDiskKeepsIdentity) {}
