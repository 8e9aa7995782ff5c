package rampshift.leases;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import rampshift.time.Moment;

/**
 * Replaces the acceptor set. First a joint set comes into force, which requires majorities of both the
 * current and the joining members. Once majorities of both have installed it, every register is rewritten, so
 * that a majority of the joining members has its value. Then the joining members alone form the set. Several
 * processes may work on the same reconfiguration: each step can be repeated.
 */
final class Reconfiguration {
    /** What a reconfiguration needs from the dispatcher. */
    interface Context extends ProposerContext {
        /** Handles an acceptor set that a quorum has accepted. */
        void learn(AcceptorSet newer);

        void emit(EventType type, LeaseRecord value);
    }

    private enum Step {
        /** Requests the directory ids of the wanted acceptors. */
        FINDING_DIRECTORIES,
        /** Writes the joint set, which requires both majorities. */
        JOINING,
        /** Sends the joint set to all acceptors. */
        INSTALLING,
        /** Collects the names of all registers. */
        LISTING,
        /** Rewrites all registers. */
        REWRITING,
        /** Writes the set that requires a majority of the new members alone. */
        LEAVING, FINISHED
    }

    /** Time after which an operator's reconfiguration that has not begun fails, in terms. */
    private static final double START_TIMEOUT_TERMS = 6;
    /**
     * Time after which an acceptor continues a reconfiguration that another process began, in terms per
     * position among the acceptors, so that not all continue it at once.
     */
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

    /** Creates a reconfiguration to the acceptors with these names, requested by an operator. */
    Reconfiguration(long processId, LeaseTimings timings, List<String> wanted, Context context) {
        this.timings = timings;
        this.wanted = List.copyOf(wanted);
        this.context = context;
        listing = new RegisterListing(context);
        changes = new ChangeBatch(processId, timings, context);
    }

    /** Creates one that another process began; this dispatcher continues it if it does not finish in time. */
    static Reconfiguration begunByAnotherProcess(String self, long processId, LeaseTimings timings,
            AcceptorSet joint, Moment now, Context context) {
        List<String> wanted = joint.joining().stream().map(AcceptorSet.Member::name).toList();
        Reconfiguration adopted = new Reconfiguration(processId, timings, wanted, context);
        int position = new ArrayList<>(joint.names()).indexOf(self);
        adopted.step = Step.INSTALLING;
        adopted.acceptors = joint;
        adopted.nextAt = now.plus(timings.term().times(ADOPTION_TERMS * (1 + position)));
        return adopted;
    }

    boolean isFinished() {
        return step == Step.FINISHED;
    }

    /** Returns when {@link #onTimer} is to be called. */
    Moment dueAt() {
        return nextAt;
    }

    /** Advances the current step if it is due. */
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

    /** Catches up with another process that has continued or finished this reconfiguration. */
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

    /** Records the directory id of a wanted acceptor. */
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
     * Returns the value of the register of the acceptors while this set is in force. The register is not
     * written when the first set is formed.
     */
    private static LeaseRecord registerValue(AcceptorSet known) {
        return known.epoch() == 1 ? LeaseRecord.INITIAL
                : new LeaseRecord(known.epoch() - 1, 0, "", 0, 0, 0, "", 0, known.encode());
    }

    /** Handles the reply of an acceptor to which the joint set was sent. */
    void onInstalled(Moment at, String from, Message.Installed reply) {
        now = at;
        if (step == Step.INSTALLING && reply.acceptors().epoch() == acceptors.epoch()) {
            installed.add(from);
            if (acceptors.hasQuorum(installed)) {
                enter(Step.LISTING);
            }
        }
    }

    /** Handles a part of an acceptor's register names. */
    void onRegisterList(Moment at, String from, Message.RegisterList reply) {
        now = at;
        if (step == Step.LISTING && listing.onList(acceptors, from, reply.registers())) {
            enter(Step.REWRITING);
        }
    }

    /** Handles a reply to an attempt of this reconfiguration. */
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
                // Another process proposed this set, and a quorum may not have accepted it yet: have it
                // chosen before using it.
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
