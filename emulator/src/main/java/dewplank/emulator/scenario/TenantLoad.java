package dewplank.emulator.scenario;

/**
 * A tenant and its load.
 *
 * @param share the tenant's quota share, relative to those of the other tenants
 * @param usage the tenant's load, as a multiple of its quota share
 */
public record TenantLoad(String name, double share, double usage) {}
