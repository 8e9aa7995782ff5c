package rampshift.leases;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import rampshift.time.Moment;

/**
 * Replaces the acceptor set. First the majorities of both sets are required; once a majority of the current
 * set has installed that, every register is written anew, so that a majority of the joining set has its
 * value; then the joining set stands alone. Several processes may work on the same reconfiguration: each step
 * can be repeated.
 */
final class Reconfiguration {
    /** What a reconfiguration needs of the dispatcher. */
    interface Context extends ProposerContext {
        /** Takes an acceptor set that a quorum has accepted. */
        void learn(AcceptorSet newer);

        void emit(EventType type, LeaseRecord value);
    }

    private enum Step {
        /** Asks the wanted acceptors for the ids of their directories. */
        FINDING_DIRECTORIES,
        /** Writes the set that requires both majorities. */
        JOINING,
        /** Tells that set to all acceptors. */
        INSTALLING,
        /** Finds the names of all registers. */
        LISTING,
        /** Writes all registers anew. */
        REWRITING,
        /** Writes the set that requires the new majority alone. */
        LEAVING, FINISHED
    }

    /** An operator's reconfiguration that has not begun by then fails. */
    private static final double START_TIMEOUT_TERMS = 6;
    /** How long another process's reconfiguration is left to it, times one's place among the acceptors. */
    private static final double ADOPTION_TERMS = 2;
    private static final int MAX_CONCURRENT_REWRITES = 16;

    private final LeaseTimings timings;
    private final Context context;
    private final List<String> wanted;
    private final Map<String, Long> directoryIds = new TreeMap<>();
    private final Set<String> installed = new TreeSet<>();
    private final RegisterListing listing;
    private final ChangeBatch changes;
    private Step step = Step.FINDING_DIRECTORIES;
    private AcceptorSet acceptors = AcceptorSet.UNKNOWN;
    private Moment nextAt = new Moment(0);
    private Moment startDeadline;
    private Moment now;

    /** One that an operator asked for: these are to be the acceptors. */
    Reconfiguration(long processId, LeaseTimings timings, List<String> wanted, Context context) {
        this.timings = timings;
        this.wanted = List.copyOf(wanted);
        this.context = context;
        listing = new RegisterListing(context);
        changes = new ChangeBatch(processId, timings, context);
    }

    /** One that another process began: it is continued if it does not end without this dispatcher. */
    static Reconfiguration begunElsewhere(String self, long processId, LeaseTimings timings,
            AcceptorSet joint, Moment now, Context context) {
        List<String> wanted = joint.joining().stream().map(AcceptorSet.Member::name).toList();
        Reconfiguration found = new Reconfiguration(processId, timings, wanted, context);
        int place = new ArrayList<>(joint.names()).indexOf(self);
        found.step = Step.INSTALLING;
        found.acceptors = joint;
        found.nextAt = now.plus(timings.term().times(ADOPTION_TERMS * (1 + place)));
        return found;
    }

    boolean isFinished() {
        return step == Step.FINISHED;
    }

    /** When {@link #onTimer} is to be called. */
    Moment dueAt() {
        return nextAt;
    }

    /** Goes on with the present step, if it is time. */
    void onTimer(Moment at) {
        now = at;
        if (startDeadline == null) {
            startDeadline = at.plus(timings.term().times(START_TIMEOUT_TERMS));
        }
        if (at.before(nextAt)) {
            return;
        }
        nextAt = at.plus(timings.attemptTimeout(1));
        followNewerEpoch();
        if (isStarting() && startDeadline.before(at)) {
            finish(EventType.RECONFIGURATION_FAILED, LeaseRecord.INITIAL);
            return;
        }
        switch (step) {
            case FINDING_DIRECTORIES -> findDirectories();
            case JOINING, LEAVING -> replaceAcceptors();
            case INSTALLING -> sendInstall(acceptors.names(), acceptors);
            case LISTING -> listing.requestMissing(acceptors);
            case REWRITING -> rewriteRegisters();
            default -> {
            }
        }
    }

    private boolean isStarting() {
        return step == Step.FINDING_DIRECTORIES || step == Step.JOINING;
    }

    /** Another process may have gone on with it, or ended it. */
    private void followNewerEpoch() {
        AcceptorSet known = context.acceptors();
        if (isStarting() || known.epoch() <= acceptors.epoch()) {
            return;
        }
        if (known.isChanging()) {
            acceptors = known;
        } else {
            step = Step.FINISHED;
        }
    }

    private void enter(Step next) {
        step = next;
        changes.clear();
        nextAt = new Moment(0);
        onTimer(now);
    }

    private void finish(EventType outcome, LeaseRecord value) {
        context.emit(outcome, value);
        step = Step.FINISHED;
    }

    private void findDirectories() {
        if (directoryIds.keySet().containsAll(wanted)) {
            enter(Step.JOINING);
            return;
        }
        Message hello = new Message.Hello(0, context.acceptors(), 0, DirectoryVersion.NONE);
        wanted.forEach(name -> context.send(name, hello));
    }

    /** Takes the directory id of a wanted acceptor. */
    void onHelloReply(String from, Message.HelloReply reply) {
        if (step == Step.FINDING_DIRECTORIES && wanted.contains(from) && reply.directoryId() != 0) {
            directoryIds.put(from, reply.directoryId());
            nextAt = new Moment(0);
        }
    }

    private void replaceAcceptors() {
        if (changes.size() > 0) {
            changes.retryOverdue(now);
            return;
        }
        AcceptorSet known = context.acceptors();
        if (step == Step.LEAVING) {
            propose(known, new AcceptorSet(known.epoch() + 1, known.joining(), List.of()));
        } else if (known.isChanging()) {
            acceptors = known;
            enter(Step.INSTALLING);
        } else {
            List<AcceptorSet.Member> joining = wanted.stream()
                    .map(name -> new AcceptorSet.Member(name, directoryIds.get(name))).toList();
            if (known.current().equals(joining)) {
                finish(EventType.RECONFIGURATION_UNNEEDED, LeaseRecord.INITIAL);
            } else {
                propose(known, new AcceptorSet(known.epoch() + 1, known.current(), joining));
            }
        }
    }

    private void propose(AcceptorSet known, AcceptorSet next) {
        ChangeFunction change = new ChangeFunction.ReplaceAcceptors(registerValue(known), next.encode());
        changes.begin(now, AcceptorSet.REGISTER, change);
    }

    /**
     * What the register of the acceptors holds while these are in force: the first set was formed without it.
     */
    private static LeaseRecord registerValue(AcceptorSet known) {
        return known.epoch() == 1 ? LeaseRecord.INITIAL
                : new LeaseRecord(known.epoch() - 1, 0, "", 0, 0, 0, "", 0, known.encode());
    }

    /** Takes the answer of an acceptor that was told the joint set. */
    void onInstalled(Moment at, String from, Message.Installed reply) {
        now = at;
        if (step == Step.INSTALLING && reply.acceptors().epoch() == acceptors.epoch()) {
            installed.add(from);
            if (acceptors.hasQuorum(installed)) {
                enter(Step.LISTING);
            }
        }
    }

    /** Takes a part of an acceptor's register names. */
    void onRegisterList(Moment at, String from, Message.RegisterList reply) {
        now = at;
        if (step == Step.LISTING && listing.onList(acceptors, from, reply.registers())) {
            enter(Step.REWRITING);
        }
    }

    /** Takes a reply to an attempt of this reconfiguration. */
    void onReply(Moment at, String from, Message.VoteReply reply) {
        now = at;
        ChangeBatch.Entry decided = changes.onReply(at, from, reply);
        if (decided == null) {
            return;
        }
        if (decided.register().equals(AcceptorSet.REGISTER)) {
            onAcceptorsDecided(decided.proposer());
        } else if (step == Step.REWRITING) {
            rewriteRegisters();
        }
    }

    private void rewriteRegisters() {
        changes.retryOverdue(now);
        while (changes.size() < MAX_CONCURRENT_REWRITES) {
            String register = listing.pollRegister();
            if (register == null) {
                break;
            }
            changes.begin(now, register, new ChangeFunction.Rewrite());
        }
        if (changes.size() == 0) {
            enter(Step.LEAVING);
        }
    }

    private void onAcceptorsDecided(Proposer proposer) {
        AcceptorSet decided = AcceptorSet.parse(proposer.value().note());
        if (decided == null) {
            return;
        }
        if (proposer.state() != Proposer.State.CHOSEN) {
            if (decided.epoch() > context.acceptors().epoch()) {
                // Another process's, which a quorum may not have yet: nobody goes by it before one has.
                changes.begin(now, AcceptorSet.REGISTER, new ChangeFunction.Rewrite());
            }
            return;
        }
        sendInstall(context.acceptors().names(), decided);
        sendInstall(decided.names(), decided);
        context.learn(decided);
        acceptors = decided;
        if (decided.isChanging()) {
            enter(Step.INSTALLING);
        } else {
            finish(EventType.RECONFIGURED, proposer.value());
        }
    }

    private void sendInstall(Set<String> names, AcceptorSet set) {
        Message install = new Message.Install(0, set);
        names.forEach(name -> context.send(name, install));
    }
}
