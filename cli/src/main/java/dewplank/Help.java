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
 * What {@code --help} prints: the command's text out of help.txt and its flags as the command line's reader has them.
 * Loaded only then.
 */
final class Help {
    private static final String FLAG = "--help";
    private static final String TEXTS = "/help.txt";
    private static final String HEADING = "# ";
    private static final int WIDTH = 110;
    private static final List<Class<?>> ROOTS = List.of(Main.class, OperatorMain.class, LabMain.class);

    private Help() {}

    /** Prints the help of the command whose words come first, or an overview of all commands. */
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
                    "dewplank: there is no command " + words.get(0) + "\nsee: java -jar dewplank.jar " + FLAG);
            return CommandLine.WRONG_USAGE;
        }
        System.out.print(usage(command, commands.get(command))
                + texts().getOrDefault(command, "")
                + flags(commands.get(command)));
        return CommandLine.OK;
    }

    /**
     * One line on how the command is written that these arguments begin with.
     *
     * @param root where that command is declared; no other commands are loaded, which may be in a file that is not
     *     there
     */
    static String usage(Class<?> root, List<String> args) {
        Map<String, Class<?>> commands = new LinkedHashMap<>();
        collect("", root, commands);
        String command = command(words(args), commands);
        return usage(command, commands.get(command)) + "see: java -jar dewplank.jar " + (command + " " + FLAG).strip();
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

    /** The longest beginning of the words that is a command; empty where the first is none. */
    private static String command(List<String> words, Map<String, Class<?>> commands) {
        String command = "";
        for (String word : words) {
            String longer = (command + " " + word).strip();
            if (!commands.containsKey(longer)) {
                break;
            }
            command = longer;
        }
        return command;
    }

    /** All commands by their words, with the classes that hold their flags. */
    static Map<String, Class<?>> commands() {
        Map<String, Class<?>> commands = new LinkedHashMap<>();
        ROOTS.forEach(root -> collect("", root, commands));
        return commands;
    }

    private static void collect(String before, Class<?> holder, Map<String, Class<?>> commands) {
        for (Field field : holder.getDeclaredFields()) {
            SubCommands below = field.getAnnotation(SubCommands.class);
            if (below == null) {
                continue;
            }
            for (SubCommand command : below.value()) {
                commands.put(before + command.name(), command.impl());
                collect(before + command.name() + " ", command.impl(), commands);
            }
        }
    }

    /** The texts by their commands, each ending with a line end. */
    static Map<String, String> texts() {
        Map<String, String> texts = new LinkedHashMap<>();
        try (InputStream in = Help.class.getResourceAsStream(TEXTS)) {
            String command = "";
            for (String line : new String(in.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .toList()) {
                if (line.startsWith(HEADING)) {
                    command = line.substring(HEADING.length());
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
        StringBuilder out = new StringBuilder("usage: java -jar dewplank.jar COMMAND ...; COMMAND --help says more\n");
        Map<String, String> texts = texts();
        for (String command : commands.keySet()) {
            String first =
                    texts.getOrDefault(command, "").strip().lines().findFirst().orElse("");
            out.append(String.format("  %-16s %s%n", command, first));
        }
        return out.toString();
    }

    private static CmdLineParser parser(Class<?> command) {
        try {
            ParserProperties properties =
                    ParserProperties.defaults().withShowDefaults(false).withUsageWidth(WIDTH);
            return new CmdLineParser(command.getDeclaredConstructor().newInstance(), properties);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("the command line's reader makes commands the same way", e);
        }
    }

    private static String usage(String command, Class<?> holder) {
        StringWriter line = new StringWriter();
        if (holder != null) {
            parser(holder).printSingleLineUsage(line, null);
        }
        return "usage: java -jar dewplank.jar " + (command + line).strip() + "\n";
    }

    private static String flags(Class<?> holder) {
        ByteArrayOutputStream flags = new ByteArrayOutputStream();
        parser(holder).printUsage(flags);
        return flags.size() == 0 ? "" : "\n" + flags.toString(StandardCharsets.UTF_8);
    }
}
