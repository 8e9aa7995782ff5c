package rampshift.membership.host;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import rampshift.membership.MembershipTimings;
import rampshift.time.Span;

/**
 * The section {@code [members]} of the operator's file. Reach: addresses of single others as they are from
 * here. News:
 * whether news of workers is taken from others; for how long it binds against the word of an own list that
 * goes on.
 * Ledger: where events are written down; null for nowhere.
 */
public record MembershipSettings(String fleet, String site, InetSocketAddress listen, List<String> seeds,
        Map<String, String> reach,
        MembershipTimings rules, boolean news, Span newsFor, Path ledger) {}
