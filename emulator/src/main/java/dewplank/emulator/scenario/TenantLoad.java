package dewplank.emulator.scenario;

/**
 * A tenant and its load.
 *
 * @param share the tenant's quota share, relative to those of other tenants
 * @param usage how much of its quota share it requests; 1 for exactly that
 */
public record TenantLoad(String name, double share, double usage) {}
