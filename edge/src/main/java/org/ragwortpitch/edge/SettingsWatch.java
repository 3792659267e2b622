package org.ragwortpitch.edge;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;
import org.ragwortpitch.contract.InstanceFile;
import org.ragwortpitch.contract.InstanceSettings;
import org.ragwortpitch.logging.Event;
import org.ragwortpitch.settings.InvalidSettingException;

/**
 * Reads the settings file again when it changes, with or without a signal. A wrong file leaves the settings as they
 * are.
 */
final class SettingsWatch {

    private static final Logger LOGGER = System.getLogger(SettingsWatch.class.getName());

    private final Path file;
    private final Consumer<InstanceSettings> changed;
    private String lastText;

    SettingsWatch(Path file, Consumer<InstanceSettings> changed) throws IOException {
        this.file = file;
        this.changed = changed;
        this.lastText = Files.readString(file);
    }

    /**
     * Looks at the file on each hang-up signal, which would otherwise end the process. The JDK has no public interface
     * for signals, so that its internal one is reached by name; without it the periodic look remains.
     */
    void onHangUp() {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            InvocationHandler look = (proxy, method, arguments) -> {
                check();
                return null;
            };
            Object proxy = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, look);
            Method handle = signal.getMethod("handle", signal, handler);
            handle.invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
        } catch (ReflectiveOperationException exception) {
            Event.of("hang-up-unhandled").with("reason", exception).warn(LOGGER);
        }
    }

    /**
     * Looks whether the file has changed.
     */
    synchronized void check() {
        try {
            String text = Files.readString(file);
            if (text.equals(lastText)) {
                return;
            }
            InstanceSettings settings = InstanceFile.decode(text);
            lastText = text;
            Event.of("reloaded").with("settings", settings.summary()).info(LOGGER);
            changed.accept(settings);
        } catch (IOException | InvalidSettingException exception) {
            Event.of("reload-failed").with("reason", exception.getMessage()).warn(LOGGER);
        }
    }
}
