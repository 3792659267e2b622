package org.ragwortpitch.edge;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;
import org.ragwortpitch.adapter.InstanceSettings;
import org.ragwortpitch.adapter.InstanceSettingsCodec;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.settings.InvalidSettingException;

/**
 * Reloads the settings file when it changes, with or without a signal. An unreadable or invalid file leaves the
 * settings unchanged.
 */
final class SettingsFileWatcher {

    private static final Logger LOGGER = System.getLogger(SettingsFileWatcher.class.getName());

    private final Path file;
    private final Consumer<InstanceSettings> onChange;
    private String lastText;

    SettingsFileWatcher(Path file, Consumer<InstanceSettings> onChange) throws IOException {
        this.file = file;
        this.onChange = onChange;
        this.lastText = Files.readString(file);
    }

    /**
     * Checks the file on each SIGHUP, which would otherwise end the process. The JDK has no public API for signals, so
     * its internal one is used by reflection; where that fails, only the periodic checks remain.
     */
    void installHangUpHandler() {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            InvocationHandler onSignal = (proxy, method, arguments) -> {
                check();
                return null;
            };
            Object proxy = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, onSignal);
            Method handle = signal.getMethod("handle", signal, handler);
            handle.invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
        } catch (ReflectiveOperationException exception) {
            Event.of("hang-up-unhandled").with("reason", exception).warn(LOGGER);
        }
    }

    /**
     * Reloads the settings if the file's content has changed since the last successful load.
     */
    synchronized void check() {
        try {
            String text = Files.readString(file);
            if (text.equals(lastText)) {
                return;
            }
            InstanceSettings settings = InstanceSettingsCodec.decode(text);
            lastText = text;
            Event.of("reloaded").with("settings", settings.summary()).info(LOGGER);
            onChange.accept(settings);
        } catch (IOException | InvalidSettingException exception) {
            Event.of("reload-failed").with("reason", exception.getMessage()).warn(LOGGER);
        }
    }
}
