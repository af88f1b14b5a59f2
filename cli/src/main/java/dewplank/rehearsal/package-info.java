/**
 * Runs the two programs of the fleet briefly with stand-ins for the platform and the servers, to create the class-data
 * archive of the build.
 */
package dewplank.rehearsal;
