/**
 * Registers all plug-ins of the daemon by importing their modules.
 *
 * @module
 */

import "./outside/answer_metrics.ts";
import "./peers/mesh.ts";
import "./config/replicated_configuration.ts";
import "./admin/admin_pages.ts";
import "./claims/sharded_claims.ts";
import "./claims/outcomes.ts";
import "./dispatch/dispatcher.ts";
import "./gateway/http_gateway.ts";
import "./gateway/completions.ts";
import "./gateway/service_forwarder.ts";
import "./gateway/resuming_generator.ts";
import "./orders/orders.ts";
import "./steps/steps.ts";
import "./usage/replicated_usage.ts";
