package rampshift.policy;

import rampshift.time.Moment;

/** When the last tasks of each tenant came, and what that tells of its share. */
final class TenantQuotas {
    private static final int FEW = 8;       // tasks of a tenant that tell nothing yet
    private final Settings settings;
    private final SampleWindow[] came;

    TenantQuotas(Settings settings) {
        this.settings = settings;
        came = SampleWindow.rows(settings.tenantQuotas.size(), 32);
    }

    /**
     * A task came; the result is the part of its earnings, 0 to 1, that its tenant's other traffic takes off.
     */
    double arrived(int tenant, Moment now) {
        if (tenant >= came.length) {
            return 0;
        }
        came[tenant].put(now.millis());
        return came[tenant].count() < FEW ? 0 : excess(tenant, now);
    }

    /** The part of its tasks that lies beyond its share, by its part of the tasks here. */
    private double excess(int tenant, Moment now) {
        // Their parts of what comes here tell, not the rate: a few of many dispatchers carry most traffic.
        double here = 0, quotas = 0;
        for (int i = 0; i < came.length; i++) {
            quotas += settings.tenantQuotas.get(i);
            here += rate(i, now);
        }
        // No quota for anybody: there is no share to go beyond, and nothing to divide by.
        double over =
                quotas <= 0 ? 0 : 1 - settings.tenantQuotas.get(tenant) / quotas * here / rate(tenant, now);
        return Math.max(0, over) * (1 - settings.excessEarnings);
    }

    private double rate(int tenant, Moment now) {
        SampleWindow times = came[tenant];
        return times.count() == 0 ? 0 : times.count() / Math.max(1, now.millis() - times.oldest());
    }
}
