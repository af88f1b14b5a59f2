/** Messages between the system's own processes: Protostuff bodies in length-prefixed frames. */
package dewplank.message;
