package rampshift.leases;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import rampshift.time.Moment;

/**
 * Puts other keepers in place of those that there are. First both sets count, each by its own majority; once
 * a majority
 * of the old goes by that, every register is written anew so that a majority of the new has it; then the new
 * count alone.
 * Any number of processes may be at it: each step can be done twice.
 */
final class Reconfiguration {
    /** What it needs of what is around it. */
    interface Around extends LeaseClient.Around {
        /** These are in force from now on: a majority has them. */
        void learn(AcceptorSet newer);
    }

    private enum Step { KNOWING, JOINING, ADOPTING, LISTING, COPYING, LEAVING, OVER }

    private static final double GIVES_UP = 6;       // terms, for one that an operator asked for
    // terms after it was found begun, times one's place among the keepers
    private static final double TAKEN_UP = 2;
    private static final int AT_ONCE = 16;          // registers that are written anew side by side

    private final String self;
    private final long life;
    private final LeaseTimings rules;
    private final Around around;
    private final List<String> wanted;
    private final Map<String, Long> ids = new TreeMap<>();
    private final Set<String> adopted = new TreeSet<>();
    private final Map<String, String> listedTo = new HashMap<>();       // the last name heard from each
    private final Set<String> listed = new HashSet<>();                 // who has told all
    private final TreeSet<String> registers = new TreeSet<>();
    private final Map<Long, RegisterChange> changes = new HashMap<>();
    private final Map<RegisterChange, String> copying = new HashMap<>();
    private final Map<String, Long> highest = new HashMap<>();
    private Step step;
    private AcceptorSet keepers = AcceptorSet.UNKNOWN;
    private Moment againAt = new Moment(0);
    private Moment endAt;
    private double slow = 1;
    private Moment now;

    /** Asked for by an operator: the keepers are to be these. */
    Reconfiguration(String self, long life, LeaseTimings rules, List<String> wanted, Around around) {
        this.self = self;
        this.life = life;
        this.rules = rules;
        this.wanted = List.copyOf(wanted);
        this.around = around;
        step = Step.KNOWING;
    }

    /** Found begun: it is taken up if it does not come to its end without. */
    Reconfiguration(String self, long life, LeaseTimings rules, AcceptorSet midst, Moment now,
            Around around) {
        this(self, life, rules, midst.next().stream().map(AcceptorSet.One::name).toList(), around);
        step = Step.ADOPTING;
        keepers = midst;
        againAt = now.plus(rules.term().times(TAKEN_UP * (1 + new ArrayList<>(midst.names()).indexOf(self))));
    }

    boolean over() {
        return step == Step.OVER;
    }

    Moment due() {
        return againAt;
    }

    void woken(Moment at) {
        now = at;
        endAt = endAt == null ? at.plus(rules.term().times(GIVES_UP)) : endAt;
        if (at.before(againAt)) {
            return;
        }
        againAt = at.plus(rules.attemptFor(1));
        if (around.keepers().epoch() > keepers.epoch() && step != Step.KNOWING && step != Step.JOINING) {
            if (!around.keepers().changing()) {
                step = Step.OVER;           // another has ended it
                return;
            }
            keepers = around.keepers();
        }
        switch (step) {
            case KNOWING -> {
                if (endAt.before(at)) {
                    around.tell(AcceptorSet.REGISTER, "given up", LeaseRecord.FREE);
                    step = Step.OVER;
                } else if (wanted.stream().allMatch(ids::containsKey)) {
                    to(Step.JOINING);
                } else {
                    wanted.forEach(k -> around.send(k,
                            Message.hello(Message.Kind.HELLO, 0, around.keepers(), 0, 0, 0)));
                }
            }
            case JOINING, LEAVING -> {
                if (step == Step.JOINING && endAt.before(at)) {
                    around.tell(AcceptorSet.REGISTER, "given up", LeaseRecord.FREE);
                    step = Step.OVER;
                } else if (changes.isEmpty()) {
                    write();
                } else {
                    retry();
                }
            }
            case ADOPTING ->
                keepers.names().forEach(k -> around.send(k, Message.keepers(Message.Kind.ADOPT, 0, keepers)));
            case LISTING -> list();
            case COPYING -> copy();
            case OVER -> {
            }
        }
    }

    private void to(Step next) {
        step = next;
        changes.clear();
        copying.clear();
        againAt = new Moment(0);
        woken(now);
    }

    /** A keeper's number, and the keepers that it goes by. */
    void helloBack(String from, Message m) {
        if (step == Step.KNOWING && wanted.contains(from) && m.id() != 0) {
            ids.put(from, m.id());
            againAt = new Moment(0);
        }
    }

    private void write() {
        AcceptorSet in = around.keepers();
        AcceptorSet next;
        if (step == Step.JOINING) {
            if (in.changing()) {
                keepers = in;
                to(Step.ADOPTING);
                return;
            }
            next = new AcceptorSet(in.epoch() + 1, in.now(),
                    wanted.stream().map(n -> new AcceptorSet.One(n, ids.get(n))).toList());
            if (in.now().equals(next.next())) {
                around.tell(AcceptorSet.REGISTER, "unchanged", LeaseRecord.FREE);
                step = Step.OVER;
                return;
            }
        } else {
            next = new AcceptorSet(in.epoch() + 1, in.next(), List.of());
        }
        begin(AcceptorSet.REGISTER,
                new RegisterUpdate(RegisterUpdate.Kind.KEEPERS, standing(in), self, life, 0, around.number(),
                        0, next.text()));
    }

    /** What the register of the keepers holds while these are in force: the first were made without it. */
    private static LeaseRecord standing(AcceptorSet in) {
        return in.epoch() == 1 ? LeaseRecord.FREE
                : new LeaseRecord(in.epoch() - 1, 0, "", 0, 0, 0, "", 0, in.text());
    }

    private void begin(String register, RegisterUpdate what) {
        RegisterChange change = new RegisterChange(register, what, life, highest.getOrDefault(register, 0L));
        copying.put(change, register);
        attempt(change);
    }

    private void attempt(RegisterChange change) {
        long number = around.number();
        changes.values().remove(change);
        changes.put(number, change);
        change.attempt(around.keepers(), number, now.plus(rules.attemptFor(slow)), around);
    }

    void answer(Moment at, String from, Message m) {
        now = at;
        switch (m.kind()) {
            case ADOPTED -> {
                if (step == Step.ADOPTING && m.epoch() == keepers.epoch()) {
                    adopted.add(from);
                    if (keepers.agreed(adopted)) {
                        to(Step.LISTING);
                    }
                }
            }
            case LISTED -> listed(from, m);
            case PROMISED, ACCEPTED, REFUSED -> {
                RegisterChange change = changes.get(m.number());
                if (change != null && change.answer(at, from, m, around)) {
                    String register = copying.get(change);
                    highest.merge(register, change.highest(), Math::max);
                    if (change.state() == RegisterChange.State.ASKING) {
                        change.waitUntil(at.plus(rules.backOff().times(slow * around.chance())));
                    } else {
                        changes.remove(m.number());
                        copying.remove(change);
                        ended(register, change);
                    }
                }
            }
            default -> {
            }
        }
    }

    private void list() {
        for (AcceptorSet.One one : keepers.now()) {
            if (!listed.contains(one.name())) {
                list(one.name());
            }
        }
    }

    private void list(String from) {
        around.send(from,
                new Message(Message.Kind.LIST, 0, keepers.epoch(), listedTo.getOrDefault(from, ""),
                        Ballot.NONE,
                        Ballot.NONE, LeaseRecord.FREE, List.of(), List.of(), "", 0, 0, 0));
    }

    private void listed(String from, Message m) {
        if (step != Step.LISTING || listed.contains(from)) {
            return;
        }
        if (m.names().isEmpty()) {
            listed.add(from);
        } else {
            registers.addAll(m.names());
            listedTo.put(from, m.names().get(m.names().size() - 1));
        }
        if (new AcceptorSet(keepers.epoch(), keepers.now(), List.of()).agreed(listed)) {
            to(Step.COPYING);
        } else if (!listed.contains(from)) {
            list(from);     // the next part, from that one alone
        }
    }

    private void retry() {
        for (RegisterChange change : List.copyOf(changes.values())) {
            if (!now.before(change.until())) {
                highest.merge(copying.get(change), change.highest(), Math::max);
                slow = change.refused() ? slow : rules.slower(slow);
                attempt(change);
            }
        }
    }

    private void copy() {
        retry();
        while (copying.size() < AT_ONCE && !registers.isEmpty()) {
            begin(registers.pollFirst(), new RegisterUpdate(RegisterUpdate.Kind.COPY, LeaseRecord.FREE, self,
                    life, 0, 0, 0, null));
        }
        if (copying.isEmpty()) {
            to(Step.LEAVING);
        }
    }

    private void ended(String register, RegisterChange change) {
        if (!register.equals(AcceptorSet.REGISTER)) {
            if (step == Step.COPYING) {
                copy();
            }
            return;
        }
        AcceptorSet stands = AcceptorSet.of(change.value().note());
        if (change.state() != RegisterChange.State.DONE) {
            if (stands != null && stands.epoch() > around.keepers().epoch()) {
                // Another's, which may be no majority's yet: nobody goes by it before it is.
                begin(AcceptorSet.REGISTER, new RegisterUpdate(RegisterUpdate.Kind.COPY, LeaseRecord.FREE,
                        self, life, 0, 0, 0, null));
            }
            return;
        }
        if (stands == null) {
            return;
        }
        tellAll(stands);
        around.learn(stands);
        keepers = stands;
        if (stands.changing()) {
            to(Step.ADOPTING);
        } else {
            around.tell(AcceptorSet.REGISTER, "changed", change.value());
            step = Step.OVER;
        }
    }

    private void tellAll(AcceptorSet stands) {
        around.keepers().names().forEach(k -> around.send(k, Message.keepers(Message.Kind.ADOPT, 0, stands)));
        stands.names().forEach(k -> around.send(k, Message.keepers(Message.Kind.ADOPT, 0, stands)));
    }
}
