/** What an acceptor promised and accepted, on disk in an MVStore: one disk thread, results handed back to the loop. */
package dewplank.store;
