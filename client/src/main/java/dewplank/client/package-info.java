/** The operators' client: calls to control sidecars, readable views, what a file would change, where a request goes. */
package dewplank.client;
