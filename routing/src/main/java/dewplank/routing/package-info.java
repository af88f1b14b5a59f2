/** Routing decisions of the data plane: health verdicts, the choice of servers, prefix affinity, the retry budget. */
package dewplank.routing;
