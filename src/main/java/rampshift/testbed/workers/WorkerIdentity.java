package rampshift.testbed.workers;

import rampshift.testbed.plan.FleetPlan;

/**
 * Which worker it is.
 *
 * @param uid its name, unique in the fleet
 * @param site the index of its site in the plan
 * @param cell the number of its cell, from 1
 * @param machine its kind of machine
 */
record WorkerIdentity(String uid, int site, int cell, FleetPlan.Machine machine) {}
