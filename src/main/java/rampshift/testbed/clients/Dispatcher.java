package rampshift.testbed.clients;

import java.net.InetSocketAddress;

/**
 * A dispatcher to which clients connect.
 *
 * @param number the index among all dispatchers of the run, from 0
 * @param site the index of the dispatcher's site in the plan
 * @param address the address at which the dispatcher accepts connections
 */
record Dispatcher(int number, int site, InetSocketAddress address) {}
