package rampshift.policy;

import rampshift.time.Moment;

/** Compares each tenant's share of the arrivals with its share of the quotas. */
final class TenantQuotas {
    /** Number of arrivals of a tenant from which on its rate is estimated. */
    private static final int MIN_ARRIVALS = 8;
    private final Settings settings;
    /** By tenant, when its last tasks arrived, in milliseconds. */
    private final SampleWindow[] arrivals;

    TenantQuotas(Settings settings) {
        this.settings = settings;
        arrivals = SampleWindow.createAll(settings.tenantQuotas.size(), 32);
    }

    /**
     * Records a task that arrived. Returns the share of its value, 0 to 1, that is deducted as its tenant
     * exceeds its quota.
     */
    double onTaskArrived(int tenant, Moment now) {
        if (tenant >= arrivals.length) {
            return 0;
        }
        arrivals[tenant].put(now.millis());
        return arrivals[tenant].count() < MIN_ARRIVALS ? 0 : overQuotaDiscount(tenant, now);
    }

    /**
     * Returns the share of the tenant's tasks that exceeds its share of the quotas, times the share of value
     * that such tasks lose.
     */
    private double overQuotaDiscount(int tenant, Moment now) {
        // The tenant's share of the arrivals at this dispatcher is compared with its share of the quotas. Its
        // rate can't be compared with its quota, since a few of many dispatchers may carry most traffic.
        double totalRate = 0;
        double totalQuota = 0;
        for (int i = 0; i < arrivals.length; i++) {
            totalQuota += settings.tenantQuotas.get(i);
            totalRate += rate(i, now);
        }
        // Without any quota there is no share to exceed, and the division would give NaN.
        double excessShare =
                totalQuota <= 0 ? 0
                        : 1 - settings.tenantQuotas.get(tenant) / totalQuota * totalRate / rate(tenant, now);
        return Math.max(0, excessShare) * (1 - settings.overQuotaValueShare);
    }

    /** Returns the tenant's rate of arrivals in tasks per millisecond. */
    private double rate(int tenant, Moment now) {
        SampleWindow times = arrivals[tenant];
        return times.count() == 0 ? 0 : times.count() / Math.max(1, now.millis() - times.oldest());
    }
}
