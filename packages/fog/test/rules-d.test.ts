import { rules } from '@thornsail/fog';

rules.test('streams,urgent,closing'.split(','), [1, 2, 3]);
