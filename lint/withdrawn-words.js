// A lint rule of our own: words of the withdrawn naming theme may stand in no identifier, comment or file name.
// Modules that map names of the release before (on the wire, on disk, on the command line) are exempt, by path.
import path from 'node:path';

/** The withdrawn words, in the singular; a plural counts as its singular. */
export const withdrawnWords = [
  'lens',
  'pipe',
  'logbook',
  'chart',
  'lookout',
  'beam',
  'tower',
  'fog',
  'glass',
  'mooring',
  'keeper',
  'fairway',
  'pilotage',
  'pilot',
  'berth',
  'dues',
  'harbour',
  'roadstead',
  'shelf',
  'purse',
  'ledger',
  'book',
  'errand',
  'kin',
  'mates',
];

const words = new Set(withdrawnWords);
const singular = (word) => (word.endsWith('s') && !words.has(word) ? word.slice(0, -1) : word);
/** The withdrawn words within a text, each part of a camel-case name being a word. */
const found = (text) =>
  (text.match(/[A-Za-z]+/g) ?? [])
    .flatMap((name) => name.split(/(?<=[a-z])(?=[A-Z])/))
    .map((word) => singular(word.toLowerCase()))
    .filter((word) => words.has(word));

const rule = {
  meta: {
    type: 'suggestion',
    docs: { description: 'disallow the words of the withdrawn naming theme' },
    schema: [],
    messages: { withdrawn: '"{{word}}" is withdrawn: take the standard name of the field (docs/GLOSSARY.md).' },
  },
  create: (context) => {
    const report = (node, text) => {
      for (const word of found(text)) context.report({ node, messageId: 'withdrawn', data: { word } });
    };
    return {
      'Identifier': (node) => report(node, node.name),
      // Comments are no nodes of the tree, and are looked at once for each file.
      'Program:exit': (node) => {
        report(node, path.basename(context.filename));
        for (const comment of context.sourceCode.getAllComments()) report(comment, comment.value);
      },
    };
  },
};

/** The rule as a plugin: `withdrawn/words`. */
export const withdrawn = { rules: { words: rule } };
