package rampshift.membership.host;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import rampshift.settings.Configuration;

/** Converts addresses of members from and to text. Host names are not resolved. */
final class MemberAddresses {
    private MemberAddresses() {}

    /** Parses an address that was validated when it was received. */
    static InetSocketAddress parse(String text) {
        return Configuration.address("member", text);
    }

    /** Returns host and port; an IPv6 host is in brackets. */
    static String format(SocketAddress address) {
        InetSocketAddress inetAddress = (InetSocketAddress) address;
        String host = inetAddress.getAddress().getHostAddress();
        boolean isIpv6 = host.indexOf(':') >= 0;
        return (isIpv6 ? "[" + host + "]" : host) + ":" + inetAddress.getPort();
    }
}
