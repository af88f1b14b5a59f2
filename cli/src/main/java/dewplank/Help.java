package dewplank;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.lang.reflect.Field;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommands;

/**
 * Prints the output of {@code --help}: the command's text from help.txt and its options as declared for args4j. The
 * class is only loaded for {@code --help}.
 */
final class Help {
    private static final String HELP_OPTION = "--help";
    private static final String TEXTS_RESOURCE = "/help.txt";
    private static final String HEADING_PREFIX = "# ";
    private static final int WIDTH = 110;
    private static final List<Class<?>> ROOTS = List.of(Main.class, OperatorMain.class, LabMain.class);

    private Help() {}

    /** Prints the help of the command at the start of the arguments; without arguments, an overview of all commands. */
    static int run(List<String> args) {
        List<String> words = words(args);
        Map<String, Class<?>> commands = commands();
        if (words.isEmpty()) {
            System.out.print(overview(commands));
            return CommandLine.OK;
        }
        String command = command(words, commands);
        if (command.isEmpty()) {
            System.err.println(
                    "dewplank: there is no command " + words.get(0) + "\nsee: java -jar dewplank.jar " + HELP_OPTION);
            return CommandLine.USAGE_ERROR;
        }
        System.out.print(usage(command, commands.get(command))
                + texts().getOrDefault(command, "")
                + options(commands.get(command)));
        return CommandLine.OK;
    }

    /**
     * Returns the usage line of the command at the start of the arguments.
     *
     * @param root the class that declares the command; the classes of other commands are not loaded, as their jar may
     *     be missing
     */
    static String usage(Class<?> root, List<String> args) {
        Map<String, Class<?>> commands = new LinkedHashMap<>();
        collect("", root, commands);
        String command = command(words(args), commands);
        return usage(command, commands.get(command)) + "see: java -jar dewplank.jar "
                + (command + " " + HELP_OPTION).strip();
    }

    private static List<String> words(List<String> args) {
        List<String> words = new ArrayList<>();
        for (String arg : args) {
            if (arg.startsWith("-")) {
                break;
            }
            words.add(arg);
        }
        return words;
    }

    /** Returns the longest prefix of the words that is a command; empty if the first word is not a command. */
    private static String command(List<String> words, Map<String, Class<?>> commands) {
        String command = "";
        for (String word : words) {
            String candidate = (command + " " + word).strip();
            if (!commands.containsKey(candidate)) {
                break;
            }
            command = candidate;
        }
        return command;
    }

    /** Returns all commands by name, with the classes that declare their options. */
    static Map<String, Class<?>> commands() {
        Map<String, Class<?>> commands = new LinkedHashMap<>();
        ROOTS.forEach(root -> collect("", root, commands));
        return commands;
    }

    private static void collect(String prefix, Class<?> commandClass, Map<String, Class<?>> commands) {
        for (Field field : commandClass.getDeclaredFields()) {
            SubCommands subCommands = field.getAnnotation(SubCommands.class);
            if (subCommands == null) {
                continue;
            }
            for (SubCommand command : subCommands.value()) {
                commands.put(prefix + command.name(), command.impl());
                collect(prefix + command.name() + " ", command.impl(), commands);
            }
        }
    }

    /** Returns the texts by command; each ends with a line break. */
    static Map<String, String> texts() {
        Map<String, String> texts = new LinkedHashMap<>();
        try (InputStream in = Help.class.getResourceAsStream(TEXTS_RESOURCE)) {
            String command = "";
            for (String line : new String(in.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .toList()) {
                if (line.startsWith(HEADING_PREFIX)) {
                    command = line.substring(HEADING_PREFIX.length());
                } else {
                    texts.merge(command, line + "\n", String::concat);
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return texts;
    }

    private static String overview(Map<String, Class<?>> commands) {
        StringBuilder out =
                new StringBuilder("usage: java -jar dewplank.jar COMMAND ...; COMMAND --help describes a command\n");
        Map<String, String> texts = texts();
        for (String command : commands.keySet()) {
            String summary =
                    texts.getOrDefault(command, "").strip().lines().findFirst().orElse("");
            out.append(String.format("  %-16s %s%n", command, summary));
        }
        return out.toString();
    }

    private static CmdLineParser parser(Class<?> command) {
        try {
            ParserProperties properties =
                    ParserProperties.defaults().withShowDefaults(false).withUsageWidth(WIDTH);
            return new CmdLineParser(command.getDeclaredConstructor().newInstance(), properties);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("args4j creates commands by the same constructor", e);
        }
    }

    private static String usage(String command, Class<?> commandClass) {
        StringWriter line = new StringWriter();
        if (commandClass != null) {
            parser(commandClass).printSingleLineUsage(line, null);
        }
        return "usage: java -jar dewplank.jar " + (command + line).strip() + "\n";
    }

    private static String options(Class<?> commandClass) {
        ByteArrayOutputStream options = new ByteArrayOutputStream();
        parser(commandClass).printUsage(options);
        return options.size() == 0 ? "" : "\n" + options.toString(StandardCharsets.UTF_8);
    }
}
