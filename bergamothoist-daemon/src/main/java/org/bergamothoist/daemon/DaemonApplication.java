package org.bergamothoist.daemon;

import com.codahale.metrics.health.HealthCheck;
import com.google.inject.Injector;
import io.dropwizard.core.Application;
import io.dropwizard.core.setup.Bootstrap;
import io.dropwizard.core.setup.Environment;
import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.util.function.BooleanSupplier;
import org.bergamothoist.daemon.caller.CallerResource;
import org.bergamothoist.daemon.caller.CompletionServlet;
import org.bergamothoist.daemon.caller.ServiceServlet;
import org.bergamothoist.daemon.http.WireModule;
import org.bergamothoist.daemon.operator.ExceptionMapping;
import org.bergamothoist.daemon.operator.OperatorFilter;
import org.bergamothoist.daemon.operator.OperatorResource;

/** Registers the HTTP interfaces with Dropwizard. */
final class DaemonApplication extends Application<DaemonConfiguration> {

    private final Injector injector;
    private final BooleanSupplier ready;

    DaemonApplication(Injector injector, BooleanSupplier ready) {
        this.injector = injector;
        this.ready = ready;
    }

    /** Does nothing, since Log4j configures itself and Dropwizard would ask for Logback. */
    @Override
    protected void bootstrapLogging() {
        // See above.
    }

    @Override
    public void initialize(Bootstrap<DaemonConfiguration> bootstrap) {
        WireModule.configure(bootstrap.getObjectMapper());
    }

    @Override
    public void run(DaemonConfiguration configuration, Environment environment) {
        environment
                .servlets()
                .addServlet("completions", injector.getInstance(CompletionServlet.class))
                .addMapping(CompletionServlet.PATH, CompletionServlet.RESUME_PATH);
        environment
                .servlets()
                .addServlet("services", injector.getInstance(ServiceServlet.class))
                .addMapping(ServiceServlet.PATTERN);
        environment.jersey().register(injector.getInstance(CallerResource.class));
        environment.jersey().register(injector.getInstance(OperatorResource.class));
        environment.jersey().register(injector.getInstance(OperatorFilter.class));
        environment.jersey().register(new ExceptionMapping());
        environment.healthChecks().register("router", new ReadyCheck(ready));
        environment
                .admin()
                .addServlet("ready", new ReadyServlet(ready))
                .addMapping(ReadyServlet.PATH);
    }

    /** Reports whether the router serves. */
    private static final class ReadyCheck extends HealthCheck {

        private final BooleanSupplier ready;

        ReadyCheck(BooleanSupplier ready) {
            this.ready = ready;
        }

        @Override
        protected Result check() {
            return ready.getAsBoolean()
                    ? Result.healthy()
                    : Result.unhealthy("router does not serve");
        }
    }

    /** Answers 200 if the router serves, 503 otherwise. */
    private static final class ReadyServlet extends HttpServlet {

        static final String PATH = "/ready";
        private static final long serialVersionUID = 1L;

        private final transient BooleanSupplier ready;

        ReadyServlet(BooleanSupplier ready) {
            this.ready = ready;
        }

        @Override
        protected void doGet(HttpServletRequest request, HttpServletResponse response) {
            response.setStatus(
                    ready.getAsBoolean()
                            ? HttpServletResponse.SC_OK
                            : HttpServletResponse.SC_SERVICE_UNAVAILABLE);
        }
    }
}
