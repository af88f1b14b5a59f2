package dewplank.emulator.scenario;

import java.util.List;

/**
 * Who requests are from and what they are about.
 *
 * @param overShareValueFactor value of a request beyond its tenant's quota share, as a fraction of the class's
 * @param quota of all tenants together, as a fraction of what the servers can do when warm
 */
public record TenantsAndKeys(List<TenantLoad> tenants, double overShareValueFactor, double quota, KeyModel keys) {}
