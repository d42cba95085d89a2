// A custom ESLint rule: words of the withdrawn naming theme are not allowed in identifiers, comments and file names.
// Modules that translate names of the previous release (wire format, stored data, command line) are exempt by path.
import path from 'node:path';

/** The withdrawn words, in the singular; plurals are matched by their singular. */
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

const wordSet = new Set(withdrawnWords);
const singular = (word) => (word.endsWith('s') && !wordSet.has(word) ? word.slice(0, -1) : word);
/** The withdrawn words in a text; camel-case names are split into their words. */
const findWithdrawnWords = (text) =>
  (text.match(/[A-Za-z]+/g) ?? [])
    .flatMap((name) => name.split(/(?<=[a-z])(?=[A-Z])/))
    .map((word) => singular(word.toLowerCase()))
    .filter((word) => wordSet.has(word));

const rule = {
  meta: {
    type: 'suggestion',
    docs: { description: 'disallow the words of the withdrawn naming theme' },
    schema: [],
    messages: { withdrawn: '"{{word}}" is withdrawn: take the standard name of the field (docs/GLOSSARY.md).' },
  },
  create: (context) => {
    const report = (node, text) => {
      for (const word of findWithdrawnWords(text)) context.report({ node, messageId: 'withdrawn', data: { word } });
    };
    return {
      'Identifier': (node) => report(node, node.name),
      // Comments are not part of the syntax tree, so they are checked once for each file.
      'Program:exit': (node) => {
        report(node, path.basename(context.filename));
        for (const comment of context.sourceCode.getAllComments()) report(comment, comment.value);
      },
    };
  },
};

/** ESLint plugin with the rule `withdrawn/words`. */
export const withdrawn = { rules: { words: rule } };
