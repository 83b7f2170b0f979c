/**
 * Restrictions of requests to regions. A list names the regions that are
 * allowed; without a list all are.
 *
 * @module
 */

/** The names of allowed regions, or undefined without a restriction. */
export type AllowedRegions = readonly string[] | undefined;

/** The regions that both lists allow. */
export function intersectRegions(
  a: AllowedRegions,
  b: AllowedRegions,
): AllowedRegions {
  if (a === undefined) return b;
  return b === undefined ? a : a.filter((region) => b.includes(region));
}

/** The regions of a deployment, by availability zone. */
export class DeploymentRegions {
  readonly #regions: ReadonlySet<string>;
  readonly #byZone: ReadonlyMap<string, string>;

  /** From the settings of a daemon, which may lack its own zone or region. */
  constructor(settings: {
    availabilityZone?: string;
    region?: string;
    regionsByZone?: Readonly<Record<string, string>>;
  } = {}) {
    const { availabilityZone = "", region = "" } = settings;
    const zones = [
      [availabilityZone, region] as const,
      ...Object.entries(settings.regionsByZone ?? {}),
    ];
    this.#byZone = new Map(zones.filter(([, name]) => name !== ""));
    this.#regions = new Set(this.#byZone.values());
  }

  /** Whether a zone's region is allowed; one of unknown region is not. */
  allowsZone(allowed: AllowedRegions, zone: string): boolean {
    if (allowed === undefined) return true;
    const region = this.#byZone.get(zone);
    return region !== undefined && allowed.includes(region);
  }

  /** Whether any region of the deployment is allowed. */
  allowsAny(allowed: AllowedRegions): boolean {
    return allowed === undefined ||
      allowed.some((region) => this.#regions.has(region));
  }

  /** Whether all regions of the deployment are allowed. */
  allowsAll(allowed: AllowedRegions): boolean {
    return allowed === undefined ||
      [...this.#regions].every((region) => allowed.includes(region));
  }
}
