package dewplank.register;

/**
 * What a simulated fleet is exposed to.
 *
 * @param wipes whether disks are lost and their acceptors replaced
 * @param resizes whether acceptor sets are changed at random, also by two processes at once
 * @param wipedKeepsIdentity breaks the rule that a new disk is a new acceptor, to see that the check notices
 */
record SimulationRules(boolean wipes, boolean resizes, boolean wipedKeepsIdentity) {}
