package rampshift.leases;

/** What all proposers of this process share: acceptor set, numbers, random draws and the transport. */
final class ProcessContext implements ProposerContext {
    private final LeaseManager.Output out;
    private final SeededDraws draws;
    private AcceptorSet acceptors = AcceptorSet.UNKNOWN;
    private long lastNumber;

    ProcessContext(long seed, LeaseManager.Output out) {
        this.out = out;
        draws = new SeededDraws(seed);
    }

    @Override
    public AcceptorSet acceptors() {
        return acceptors;
    }

    void setAcceptors(AcceptorSet newer) {
        acceptors = newer;
    }

    @Override
    public long nextNumber() {
        return ++lastNumber;
    }

    @Override
    public double nextRandom() {
        return draws.next();
    }

    @Override
    public void send(String to, Message message) {
        out.send(to, Codec.encode(message));
    }

    /** Reports an event of a register with its token and holder. */
    void emit(String register, EventType type, LeaseRecord value) {
        out.emit(new LeaseEvent(register, type, value.token(), value.isFree() ? "-" : value.holder()));
    }

    /** A view of this context, to be extended with what one kind of change needs. */
    static class View implements ProposerContext {
        private final ProcessContext delegate;

        View(ProcessContext delegate) {
            this.delegate = delegate;
        }

        @Override
        public AcceptorSet acceptors() {
            return delegate.acceptors();
        }

        @Override
        public long nextNumber() {
            return delegate.nextNumber();
        }

        @Override
        public double nextRandom() {
            return delegate.nextRandom();
        }

        @Override
        public void send(String to, Message message) {
            delegate.send(to, message);
        }
    }
}
