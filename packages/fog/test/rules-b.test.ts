import { rules } from '@thornsail/fog';

rules.test('once,notrun,kept'.split(','), [1, 2, 3]);
