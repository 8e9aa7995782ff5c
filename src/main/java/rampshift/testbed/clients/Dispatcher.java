package rampshift.testbed.clients;

import java.net.InetSocketAddress;

/**
 * A dispatcher, as the clients know it.
 *
 * @param number its position among all dispatchers of the run, from 0
 * @param site the index of its site in the plan
 * @param address where it accepts connections
 */
record Dispatcher(int number, int site, InetSocketAddress address) {}
