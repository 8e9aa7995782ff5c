package rampshift.membership;

/** Determines the membership health after each input and emits an event when it changes. */
final class HealthMonitor {
    private final MembershipContext context;
    private final AntiEntropySync sync;
    private final LocalHealth localHealth;
    private final NameConflictDetector nameConflicts;
    private MembershipHealth health = MembershipHealth.JOINING;

    HealthMonitor(MembershipContext context, AntiEntropySync sync, LocalHealth localHealth,
            NameConflictDetector nameConflicts) {
        this.context = context;
        this.sync = sync;
        this.localHealth = localHealth;
        this.nameConflicts = nameConflicts;
    }

    MembershipHealth health() {
        return health;
    }

    void update() {
        int reachable = context.members().reachableCount();
        int known = context.members().knownCount();
        MembershipHealth current = evaluate(reachable, known);
        if (current != health) {
            health = current;
            context.emitOwn(MembershipEvent.Kind.HEALTH_CHANGED,
                    current.label() + " " + reachable + "/" + known);
        }
    }

    private MembershipHealth evaluate(int reachable, int known) {
        if (!sync.hasJoined() && reachable == 1) {
            return MembershipHealth.JOINING;
        }
        if (localHealth.isAwaitingContact()) {
            return MembershipHealth.LATE;
        }
        if (nameConflicts.isInConflict()) {
            return MembershipHealth.NAME_CONFLICT;
        }
        if (reachable == known) {
            return MembershipHealth.COMPLETE;
        }
        if (reachable == 1) {
            return MembershipHealth.ISOLATED;
        }
        return 2 * reachable <= known ? MembershipHealth.MINORITY : MembershipHealth.MAJORITY;
    }
}
