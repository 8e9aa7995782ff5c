package rampshift.policy;

import rampshift.time.Moment;

/** When the last tasks of each tenant arrivals, and what that tells of its share of the quotas. */
final class TenantQuotas {
    private static final int MIN_ARRIVALS = 8; // of a tenant: fewer tell nothing yet
    private final Settings settings;
    private final SampleWindow[] arrivals;

    TenantQuotas(Settings settings) {
        this.settings = settings;
        arrivals = SampleWindow.createAll(settings.tenantQuotas.size(), 32);
    }

    /** A task arrived; the result is the part of its value, 0 to 1, that its tenant's traffic takes off. */
    double onTaskArrived(int tenant, Moment now) {
        if (tenant >= arrivals.length) {
            return 0;
        }
        arrivals[tenant].put(now.millis());
        return arrivals[tenant].count() < MIN_ARRIVALS ? 0 : overQuotaDiscount(tenant, now);
    }

    /** The part of its tasks that lies beyond its share, by its part of the tasks here. */
    private double overQuotaDiscount(int tenant, Moment now) {
        // Their parts of what comes here tell, not the rate: a few of many dispatchers carry most traffic.
        double totalRate = 0;
        double totalQuota = 0;
        for (int i = 0; i < arrivals.length; i++) {
            totalQuota += settings.tenantQuotas.get(i);
            totalRate += rate(i, now);
        }
        // No quota for anybody: there is no share to go beyond, and nothing to divide by.
        double excessShare =
                totalQuota <= 0 ? 0
                        : 1 - settings.tenantQuotas.get(tenant) / totalQuota * totalRate / rate(tenant, now);
        return Math.max(0, excessShare) * (1 - settings.overQuotaValueShare);
    }

    private double rate(int tenant, Moment now) {
        SampleWindow times = arrivals[tenant];
        return times.count() == 0 ? 0 : times.count() / Math.max(1, now.millis() - times.oldest());
    }
}
