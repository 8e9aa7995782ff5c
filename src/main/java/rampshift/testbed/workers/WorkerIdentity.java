package rampshift.testbed.workers;

import rampshift.testbed.plan.FleetPlan;

/**
 * The identity of a worker.
 *
 * @param uid the name, unique in the fleet
 * @param site the index of the worker's site in the plan
 * @param cell the number of the worker's cell, from 1
 * @param machine the kind of machine
 */
record WorkerIdentity(String uid, int site, int cell, FleetPlan.Machine machine) {}
