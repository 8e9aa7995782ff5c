package rampshift.leases;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** The registers of one acceptor: promises and accepted values, and their records in its directory. */
final class RegisterTable {
    private static final String KEY_PREFIX = "r ";
    private static final int MAX_REGISTERS = 4096;
    /** Bytes of the length field of a name in a message. */
    private static final int NAME_OVERHEAD_BYTES = 2;

    private final Acceptor.Output out;
    private final TreeMap<String, AcceptorState> states = new TreeMap<>();

    RegisterTable(Acceptor.Output out) {
        this.out = out;
    }

    /** Loads a stored record if it belongs to a register. */
    void load(String key, byte[] bytes) {
        if (key.startsWith(KEY_PREFIX)) {
            states.put(key.substring(KEY_PREFIX.length()), Codec.decodeState(bytes));
        }
    }

    boolean hasCapacityFor(String register) {
        return states.size() < MAX_REGISTERS || states.containsKey(register);
    }

    /** Handles phase 1. Rejects a ballot equal to the promised one: no ballot is promised twice. */
    void prepare(String from, Message.Prepare request) {
        AcceptorState state = state(request.register());
        if (request.ballot().compareTo(state.promised()) <= 0) {
            reject(from, request, state);
            return;
        }
        store(request.register(), new AcceptorState(request.ballot(), state.accepted(), state.value()));
        out.sendAfterSync(from, new Message.Promise(request.number(), request.epoch(), request.register(),
                request.ballot(), state.accepted(), state.value()));
    }

    /** Handles phase 2. Accepting a value also promises the next ballot of the same process. */
    void accept(String from, Message.Accept request) {
        AcceptorState state = state(request.register());
        if (request.ballot().compareTo(state.promised()) < 0) {
            reject(from, request, state);
            return;
        }
        store(request.register(),
                new AcceptorState(request.ballot().next(), request.ballot(), request.value()));
        out.sendAfterSync(from, new Message.Accepted(request.number(), request.epoch(), request.register(),
                request.ballot()));
    }

    private void reject(String from, Message.Vote request, AcceptorState state) {
        out.send(from, new Message.Reject(request.number(), request.epoch(), request.register(),
                state.promised(), state.accepted()));
    }

    /**
     * Sends accepted values without a promise. Contenders use them to time a takeover; safety does not depend
     * on them.
     */
    void read(String from, Message.Read request) {
        List<String> names = request.registers();
        List<LeaseRecord> values = names.stream().map(name -> state(name).value()).toList();
        for (int start = 0; start < names.size();) {
            List<String> restOfNames = names.subList(start, names.size());
            List<LeaseRecord> restOfValues = values.subList(start, names.size());
            int count = Codec.countThatFits(restOfNames, restOfValues);
            out.send(from, new Message.ReadReply(request.number(), List.copyOf(restOfNames.subList(0, count)),
                    List.copyOf(restOfValues.subList(0, count))));
            start += count;
        }
    }

    /**
     * Sends the names that sort after the given one, as many as fit into one message, or none at the end of
     * the list.
     */
    void list(String from, Message.ListRegisters request) {
        List<String> names = new ArrayList<>();
        int remainingBytes = Codec.MAX_MESSAGE_BYTES / 2;
        for (String name : states.tailMap(request.after(), false).keySet()) {
            if (name.equals(AcceptorSet.REGISTER)) {
                continue;
            }
            remainingBytes -= name.length() + NAME_OVERHEAD_BYTES;
            if (remainingBytes < 0) {
                break;
            }
            names.add(name);
        }
        out.send(from, new Message.RegisterList(request.number(), names));
    }

    private AcceptorState state(String register) {
        return states.getOrDefault(register, AcceptorState.EMPTY);
    }

    private void store(String register, AcceptorState state) {
        states.put(register, state);
        out.persist(KEY_PREFIX + register, Codec.encode(state));
    }
}
