package dewplank.emulator.scenario;

import java.util.List;

/**
 * The tenants that send requests, and the data keys that requests refer to.
 *
 * @param overShareValueFactor value of a request beyond its tenant's quota share, as a fraction of the class's value
 * @param quota total quota of all tenants, as a fraction of the capacity of all servers when warm
 */
public record TenantsAndKeys(List<TenantLoad> tenants, double overShareValueFactor, double quota, KeyModel keys) {}
