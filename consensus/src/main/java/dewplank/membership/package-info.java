/** Membership: sessions of sidecars with control sidecars, their leases, and what control sidecars tell each other. */
package dewplank.membership;
