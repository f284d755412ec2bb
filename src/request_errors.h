#ifndef SRC_REQUEST_ERRORS_H_
#define SRC_REQUEST_ERRORS_H_

#include <string>
#include <string_view>

#include "src/error.h"
#include "src/grant_table.h"
#include "src/scheduler.h"

// Defines the typed errors in which a request may end.

namespace crocuslatch {

// A request that is malformed or not allowed; it did not run.
RequestError BadRequest(int http_status,
                        std::string code,
                        const std::string& message,
                        std::string remedy);

// Why the request got no reservation; `status` is not kReserved.
RequestError ReservationRefused(ReserveStatus status,
                                const std::string& budget);
RequestError BudgetExhausted(const std::string& budget);
RequestError UnknownBudget(const std::string& budget);

// Why the request was not queued; `status` is not kQueued.
RequestError EnqueueRefused(EnqueueStatus status, const std::string& rank);

// The deadline passed before the request was dispatched.
RequestError DeadlinePassed();

// No backend server takes work for the model or service.
RequestError NoBackendServer(std::string_view target);

// The backend servers failed. `may_have_run` decides about the outcome.
RequestError BackendFailed(bool may_have_run, const std::string& reason);

// A non-repeatable order.
RequestError OrderInProgress();
RequestError OrderOutcomeUnknown(const std::string& reason);
RequestError KeyReused();
RequestError KeyBoundToOtherBudget(const std::string& budget);
RequestError ClaimUnconfirmed();

}  // namespace crocuslatch

#endif  // SRC_REQUEST_ERRORS_H_
