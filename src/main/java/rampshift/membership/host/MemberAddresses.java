package rampshift.membership.host;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import rampshift.settings.Configuration;

/** Converts addresses of members from and to text. Names are not looked up. */
final class MemberAddresses {
    private MemberAddresses() {}

    /** The address of a text that was checked where it came in. */
    static InetSocketAddress parse(String text) {
        return Configuration.address("member", text);
    }

    /** Host and port; an IPv6 host is in brackets. */
    static String format(SocketAddress address) {
        InetSocketAddress inetAddress = (InetSocketAddress) address;
        String host = inetAddress.getAddress().getHostAddress();
        boolean isIpv6 = host.indexOf(':') >= 0;
        return (isIpv6 ? "[" + host + "]" : host) + ":" + inetAddress.getPort();
    }
}
