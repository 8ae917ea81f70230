/** Output of `--help`. */
export const HELP = `
  Usage
    $ balsamnotch init [--answers FILE] --out DIR [--force]
    $ balsamnotch check PATH... [--kind KIND] [--against DIR]
    $ balsamnotch status (--vm-list URL | --nodes IP:PORT,...) [--adapters]
    $ balsamnotch stop --node IP:PORT [--cancel] [--wait] [--wait-ms MS]
    $ balsamnotch drill --list
    $ balsamnotch drill NAME [drill options]

  init    writes a configuration folder from the answers of a questionnaire;
          without --answers it asks at the terminal
  check   prints all findings of settings files, questionnaires and
          configuration folders, with file, line and column
  status  prints state, revision and work of every node
  stop    starts a planned stop of one node, or cancels it
  drill   rehearses one situation against a running deployment

  Options of init
    --answers FILE   questionnaire, JSON with comments
    --out DIR        folder for manifest.json and values/
    --force          replaces the manifest of an existing configuration

  Options of check
    --kind KIND      settings or questionnaire; detected by default
    --against DIR    configuration folder in force; prints what would change

  Options of status
    --vm-list URL    VM list of the deployment
    --nodes LIST     connect servers of the nodes, separated by commas
    --adapters       lists the loaded adapters of each target

  Options of stop
    --node IP:PORT   connect server of the node
    --cancel         cancels a planned stop that has not ended
    --wait           waits until the node has gone
    --wait-ms MS     longest wait, 120000 by default

  Options of drill
    --list                 prints all drills with what they need
    --vm-list, --nodes     as for status
    --node IP:PORT         node that the drill stops
    --caller-url URL       entry or balancer that chats are sent to
    --key KEY              key of a caller
    --model LIST           models to chat with, separated by commas
    --parallel N           chats at once, 4 by default
    --config-service URL   configuration service of the deployment
    --revision N           revision to wait for
    --duration-ms MS       longest wait or observation, 30000 by default

  Exit codes
    0  done; no findings; one revision is in force everywhere; all checks of
       the drill held
    1  findings; not one revision in force everywhere, or a node did not answer;
       the node did not start or cancel its stop; a check of the drill failed
    2  wrong command, option or argument; the configuration exists already
    3  result not known: a file, node or service could not be reached or
       written, the node has not gone within the wait, or the drill did not
       meet the situation that it rehearses
`;
