/**
 * Runs the fleet's two programs for a moment with stand-ins of their surroundings, for the build's archive of classes.
 */
package dewplank.rehearsal;
