package rampshift.testbed.verification;

/** Receives the events of event logs, one method per event type. By default a method ignores its event. */
interface LogEventListener {
    default void onRequestSent(RequestEvent.RequestSent event) {}

    default void onJobTaskTaken(RequestEvent.JobTaskTaken event) {}

    default void onResponseReceived(RequestEvent.ResponseReceived event) {}

    default void onConnectionFailed(RequestEvent.ConnectionFailed event) {}

    default void onResponseMissing(RequestEvent.ResponseMissing event) {}

    default void onUnexpectedBytes(LogEvent.UnexpectedBytes event) {}

    default void onAttemptReceived(RequestEvent.AttemptReceived event) {}

    default void onRunStarted(RequestEvent.RunStarted event) {}

    default void onRunCompleted(RequestEvent.RunCompleted event) {}

    default void onWorkerStarted(LogEvent.WorkerStarted event) {}

    default void onWorkerOverloaded(LogEvent.WorkerOverloaded event) {}

    default void onEffectApplied(LeaseEvent.EffectApplied event) {}

    default void onEffectRefused(LeaseEvent.EffectRefused event) {}

    default void onFullListStarted(LogEvent.FullListStarted event) {}

    default void onEndpointSent(LogEvent.EndpointSent event) {}

    default void onFullListCompleted(LogEvent.FullListCompleted event) {}

    default void onProcessChanged(FaultEvent.ProcessChanged event) {}

    default void onFaultChanged(FaultEvent.FaultChanged event) {}

    default void onMembershipChanged(LogEvent.MembershipChanged event) {}

    default void onLeaseHeld(LeaseEvent.LeaseHeld event) {}

    default void onRegisterChanged(LeaseEvent.RegisterChanged event) {}

    default void onJobTaskCompleted(LeaseEvent.JobTaskCompleted event) {}

    default void onJobTaskUnsure(LeaseEvent.JobTaskUnsure event) {}

    default void onLoadFinished(LogEvent.LoadFinished event) {}
}
