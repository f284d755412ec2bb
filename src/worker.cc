#include "src/worker.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <QThread>
#include <atomic>
#include <exception>
#include <future>
#include <optional>

#include "src/caller_api.h"

namespace crocuslatch {
namespace {

constexpr Millis kStoppingRetryAfter{500};

void RefuseWhileStopping(HttpReply reply) {
  reply.SendError(RequestError(503, Outcome::kNotRun, "stopping",
                               "this router is stopping",
                               "send the request again; the balancer chooses "
                               "another router",
                               kStoppingRetryAfter));
}

}  // namespace

struct Worker::Core {
  HttpServerOptions options;
  RequestContext context;
  std::atomic<bool> stopping = false;
  std::atomic<std::uint16_t> port = 0;
  // Made and destroyed on the worker's thread; read elsewhere only through
  // tasks posted to `loop`.
  std::optional<EventLoop> loop;
  HttpServer* front = nullptr;
  std::unique_ptr<QThread> thread;

  void Run(std::promise<void>* started) {
    loop = MakeQtEventLoop();
    HttpClient client;
    context.loop = *loop;
    context.client = &client;
    const HttpHandler handle = MakeCallerApi(context);
    try {
      HttpServer listener(
          options, [this, handle](const IncomingRequest& it, HttpReply reply) {
            if (stopping) {
              RefuseWhileStopping(std::move(reply));
              return;
            }
            handle(it, std::move(reply));
          });
      front = &listener;
      port = listener.port();
      started->set_value();
      QEventLoop().exec();
      front = nullptr;
    } catch (const UserError&) {
      started->set_exception(std::current_exception());
    }
    // Tasks that still wait hold references to the client.
    QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
  }

  // Runs `function` on the worker's thread and waits for its result.
  template <typename T>
  T Ask(std::function<T()> function) {
    std::promise<T> promise;
    auto result = promise.get_future();
    loop->post([&promise, &function] { promise.set_value(function()); });
    return result.get();
  }
};

Worker::Worker(const HttpServerOptions& options, RequestContext context)
    : core_(std::make_unique<Core>()) {
  core_->options = options;
  core_->context = std::move(context);
  std::promise<void> started;
  auto result = started.get_future();
  core_->thread.reset(
      QThread::create([core = core_.get(), &started] { core->Run(&started); }));
  core_->thread->start();
  try {
    result.get();
  } catch (const UserError&) {
    core_->thread->wait();
    throw;
  }
}

Worker::~Worker() {
  core_->thread->quit();
  core_->thread->wait();
}

std::uint16_t Worker::port() const {
  return core_->port;
}

void Worker::StopAccepting() {
  core_->stopping = true;
  core_->Ask<bool>([core = core_.get()] {
    core->front->StopListening();
    return true;
  });
}

std::size_t Worker::open_requests() const {
  return core_->Ask<std::size_t>(
      [core = core_.get()] { return core->front->open_requests(); });
}

}  // namespace crocuslatch
